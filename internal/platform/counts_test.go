package platform

import (
	"bytes"
	"fmt"
	"log/slog"
	"reflect"
	"strings"
	"testing"
)

func TestCountsAreLogged(t *testing.T) {
	var counts Counts
	fields := reflect.ValueOf(&counts).Elem()
	for index := range fields.NumField() {
		switch field := fields.Field(index); field.Kind() {
		case reflect.Uint64:
			field.SetUint(uint64(1000 + index))
		case reflect.Float64:
			field.SetFloat(float64(1000 + index))
		}
	}
	counts.Closed[CloseShed] = 3
	var output bytes.Buffer
	slog.New(slog.NewTextHandler(&output, nil)).Info("counts", keyCounts, &counts)
	text := output.String()
	t.Run("each count has its own key", func(t *testing.T) {
		for index := range fields.NumField() - 1 {
			if value := fmt.Sprintf("=%d", 1000+index); strings.Count(text, value) != 1 {
				t.Errorf("%s: want exactly once in %q", fields.Type().Field(index).Name, text)
			}
		}
	})
	t.Run("only close reasons that occurred are logged", func(t *testing.T) {
		if !strings.Contains(text, " counts.closed.shed=3\n") || strings.Count(text, "counts.closed.") != 1 {
			t.Errorf("want one close reason with its count in %q", text)
		}
	})
}

func TestCloseReasonsHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for reason := range numCloseReasons {
		name := reason.String()
		if name == "" || seen[name] || strings.HasPrefix(name, "reason_") {
			t.Errorf("reason %d has the missing or duplicate name %q", int(reason), name)
		}
		seen[name] = true
	}
}
