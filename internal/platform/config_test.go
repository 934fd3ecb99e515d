package platform

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"lichenpick/internal/settings"
)

func TestReadConfig(t *testing.T) {
	valid := configText("127.0.0.1:1", 64)
	for name, test := range map[string]struct{ old, replacement, want string }{
		"not JSON":        {`{"name"`, `{"name`, "invalid"},
		"no seed":         {`"8c1f30d27a5be964"`, `"xyz"`, "seed"},
		"no address":      {`"discovery":"127.0.0.1:1"`, `"discovery":""`, "discovery"},
		"no settings":     {`"settings"`, `"other"`, "settings"},
		"a wrong type":    {`"Balancers":2`, `"Balancers":"two"`, "Balancers"},
		"no zones":        {`"Azs":["a","b"]`, `"Azs":[]`, "zones"},
		"a name twice":    {`"Azs":["a","b"]`, `"Azs":["a","a"]`, "twice"},
		"no proxies":      {`"DataPlaneSize":8`, `"DataPlaneSize":0`, "proxies"},
		"an invalid list": {`"state":"ready"`, `"state":"asleep"`, "known"},
	} {
		t.Run("error in one line: "+name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			writeConfig(t, path, strings.Replace(valid, test.old, test.replacement, 1))
			_, err := ReadConfig(path)
			var inputError *settings.Error
			if !errors.As(err, &inputError) || inputError.File != path {
				t.Fatalf("%v, want a *settings.Error with the file", err)
			}
			if !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want one line with %q", err, test.want)
			}
		})
	}
	if _, err := ReadConfig(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a missing file causes no error")
	}
}
