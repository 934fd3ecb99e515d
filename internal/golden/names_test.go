package golden

import (
	"maps"
	"slices"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	pb "lichenpick/proto/settings"
)

func TestCollectNames(t *testing.T) {
	message := &pb.Planner{Name: "planner-1", Groups: []*pb.Group{{Name: "pay", Repeat: pb.Repeat_DEDUPED}}}
	seen := map[protoreflect.FullName]bool{}
	CollectNames(message.ProtoReflect(), seen)
	descriptor := message.ProtoReflect().Descriptor()
	group := descriptor.Fields().ByName("groups").Message()
	repeat := group.Fields().ByName("repeat")
	want := []protoreflect.FullName{
		descriptor.Fields().ByName("name").FullName(),
		descriptor.Fields().ByName("groups").FullName(),
		group.Fields().ByName("name").FullName(),
		repeat.FullName(),
		repeat.Enum().Values().ByNumber(pb.Repeat_DEDUPED.Number()).FullName(),
	}
	slices.Sort(want)
	if got := slices.Sorted(maps.Keys(seen)); !slices.Equal(got, want) {
		t.Errorf("collected names %v, want %v", got, want)
	}
}
