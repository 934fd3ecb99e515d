package simulation

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/planner"
	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// Proxies join at random times within joinSpreadMs after firstJoinMs.
const (
	firstJoinMs  = 1.0
	joinSpreadMs = 20.0
)

// simulatedProxy runs the proxy core of the product and holds its stream to the planner.
type simulatedProxy struct {
	fleet            *fleet
	core             *proxy.Core
	stream           *planner.Stream
	reportIntervalMs float64
}

// addProxy adds a proxy and schedules its join and its first load report. The number is the index of the proxy within its
// zone.
func (f *fleet) addProxy(zoneName string, number int) error {
	set := &pb.Proxy{
		Name:        fmt.Sprintf("edge-%s-%d", zoneName, number),
		Listen:      unusedAddress,
		Planners:    []string{unusedAddress},
		Zone:        zoneName,
		Groups:      f.script.Groups,
		Pick:        f.script.Pick,
		ReportEvery: f.script.Reports.Every,
		Seed:        proto.Uint64(uint64(f.random.Int63())),
	}
	checked := &pb.Proxy{}
	if err := settings.Parse("proxy of the simulation", []byte(settings.Format(set)), checked); err != nil {
		return err
	}
	added := &simulatedProxy{
		fleet:            f,
		core:             proxy.NewCore(checked, 0),
		stream:           &planner.Stream{Address: netip.MustParseAddr("127.0.0.1")},
		reportIntervalMs: settings.Milliseconds(checked.ReportEvery),
	}
	added.stream.Transport = added
	f.proxies = append(f.proxies, added)
	join := &order.Join{
		Proxy:       checked.Name,
		Zone:        zoneName,
		UsualPerS:   settings.PerSecond(f.script.Traffic.Rate) / float64(settings.ProxyCount(f.script)),
		Incarnation: 1,
		Stream:      1,
		Groups:      uint32(len(f.script.Groups)),
	}
	f.After(firstJoinMs+f.random.Float64()*joinSpreadMs, func() {
		f.planner.handle(func() { f.planner.core.HandleJoin(added.stream, join) })
	})
	f.After(f.random.Float64()*added.reportIntervalMs, added.sendReport)
	return nil
}

// receive applies a message from the planner and acknowledges it.
func (p *simulatedProxy) receive(message proto.Message) {
	f := p.fleet
	ack := &order.Applied{}
	switch message := message.(type) {
	case *order.Welcome:
		p.core.StartSession(message)
	case *order.Orders:
		ack.Number = message.Number
		ack.Receipts = p.core.ApplyOrders(message)
		f.result.Messages++
		f.result.Entries += message.Lines
	default:
		return
	}
	f.After(frameDelayMs, func() {
		f.planner.handle(func() { f.planner.core.HandleAck(p.stream, ack) })
	})
}

// sendReport sends a load report and schedules the next one.
func (p *simulatedProxy) sendReport() {
	f := p.fleet
	report := p.core.TakeLoadReport(f.NowMs())
	f.After(frameDelayMs, func() {
		f.planner.handle(func() { f.planner.core.HandleLoadReport(p.stream, report) })
	})
	f.After(p.reportIntervalMs, p.sendReport)
}
