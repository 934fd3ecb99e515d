package settings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"lichenpick/internal/golden"
	"lichenpick/internal/settings"
	"lichenpick/proto/script"
	pb "lichenpick/proto/settings"
)

// fileKinds maps the name of each kind of settings file to a function that returns an empty message of this kind. The files of
// a kind are in testdata/NAME and date from 2026-12-02. They represent the operators' files, which must keep their meaning when
// names in the code change.
var fileKinds = map[string]func() proto.Message{
	"planner": func() proto.Message { return &pb.Planner{} },
	"proxy":   func() proto.Message { return &pb.Proxy{} },
	"server":  func() proto.Message { return &pb.Server{} },
	"list":    func() proto.Message { return &pb.List{} },
	"script":  func() proto.Message { return &script.Script{} },
}

func settingsFiles(t *testing.T, kind string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", kind, "*.txtpb"))
	if err != nil {
		t.Fatal(err)
	}
	if len(paths) == 0 {
		t.Fatalf("no files of kind %s", kind)
	}
	return paths
}

// TestGoldenSettings compares the values of each file, defaults included, with a golden file, and checks that the printed
// values read back to the same message.
func TestGoldenSettings(t *testing.T) {
	for kind, newMessage := range fileKinds {
		for _, path := range settingsFiles(t, kind) {
			name := strings.TrimSuffix(filepath.Base(path), ".txtpb")
			t.Run(kind+"/"+name, func(t *testing.T) {
				message := newMessage()
				if err := settings.Load(path, message); err != nil {
					t.Fatal(err)
				}
				printed := settings.Format(message)
				golden.Check(t, filepath.Join("testdata", kind, name+".golden.txt"), []byte(printed))
				again := newMessage()
				if err := settings.Parse("printed", []byte(printed), again); err != nil {
					t.Fatal(err)
				}
				if !proto.Equal(again, message) {
					t.Error("the printed settings do not read back to the same values")
				}
			})
		}
	}
}

// TestGoldenUnits compares the conversion of durations to ms and of rates to rates per second with a golden file.
func TestGoldenUnits(t *testing.T) {
	var text strings.Builder
	for _, duration := range []string{"", "0s", "250ms", "1500us", "3.6s", "2m", "1h30m", "0.1ms", "7"} {
		fmt.Fprintf(&text, "time %q: %g ms, %d ns\n", duration, settings.Milliseconds(duration), settings.Duration(duration).Nanoseconds())
	}
	for _, rate := range []string{"", "0/s", "2300/s", "90/m", "7200/h", "0.5/s", " 5 /s", "5", "5/d"} {
		fmt.Fprintf(&text, "rate %q: %g/s\n", rate, settings.PerSecond(rate))
	}
	golden.Check(t, "testdata/units.golden.txt", []byte(text.String()))
}

// TestSettingsFilesAreComplete checks that the files of TestGoldenSettings together set every field and use every enumeration
// value that the .proto files declare. A name that no file uses could change unnoticed.
func TestSettingsFilesAreComplete(t *testing.T) {
	seen := map[protoreflect.FullName]bool{}
	for kind, newMessage := range fileKinds {
		for _, path := range settingsFiles(t, kind) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			message := newMessage() // decoding without Load, so that no defaults are set
			if err := prototext.Unmarshal(text, message); err != nil {
				t.Fatalf("%s: %v", path, err)
			}
			golden.CollectNames(message.ProtoReflect(), seen)
		}
	}
	for _, file := range []protoreflect.FileDescriptor{pb.File_proto_settings_settings_proto, script.File_proto_script_script_proto} {
		checkMessages(t, file.Messages(), seen)
		checkEnums(t, file.Enums(), seen)
	}
}

func checkMessages(t *testing.T, messages protoreflect.MessageDescriptors, seen map[protoreflect.FullName]bool) {
	t.Helper()
	for index := range messages.Len() {
		message := messages.Get(index)
		for number := range message.Fields().Len() {
			if name := message.Fields().Get(number).FullName(); !seen[name] {
				t.Errorf("no file names %s", name)
			}
		}
		checkMessages(t, message.Messages(), seen)
		checkEnums(t, message.Enums(), seen)
	}
}

func checkEnums(t *testing.T, enums protoreflect.EnumDescriptors, seen map[protoreflect.FullName]bool) {
	t.Helper()
	for index := range enums.Len() {
		values := enums.Get(index).Values()
		for number := range values.Len() {
			value := values.Get(number)
			if value.Number() != 0 && !seen[value.FullName()] { // an explicit zero value decodes like an omitted field
				t.Errorf("no file names %s", value.FullName())
			}
		}
	}
}
