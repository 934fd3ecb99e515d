package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/fake"
	"lichenpick/internal/planner"
	"lichenpick/internal/settings"
	"lichenpick/internal/store"
	pb "lichenpick/proto/settings"
)

func stressCommand() *cobra.Command {
	s := &fake.StressTest{}
	var file, length string
	var spawned, cores int
	var killAt, backAfter float64
	c := &cobra.Command{
		Use: "stress -c PLANNER-FILE", Short: "Load planners with many stand-in proxies that only speak the order stream", Args: exactly(0),
		Long: "Reads a planner's settings for its address, zones, groups and list file, writes that list, and joins. Flows are made up by the\n" +
			"weights that the proxies hold. For measurements of planners at large sizes. With --spawn it also starts planners made from\n" +
			"that file in a directory of their own, on the next ports, and says at the end what each used.",
		RunE: func(c *cobra.Command, _ []string) error {
			set := &pb.Planner{}
			if err := settings.Load(file, set); err != nil {
				return err
			}
			from, ok := set.List.From.(*pb.ListSource_File)
			ms := settings.Milliseconds(length)
			if !ok || ms <= 0 || s.Proxies <= 0 || s.Servers <= 0 || spawned < 0 || spawned > 16 {
				return usage{fmt.Errorf("stress needs a planner with a list file, a --length such as 20s, proxies and servers above 0, and --spawn up to 16")}
			}
			s.Clock, s.Network, s.Planners, s.List, s.Classes = clock.NewReal(), machine, []string{set.Listen}, from.File.Path, set.Groups
			s.ReportIntervalMs, s.SharedFleet = settings.Milliseconds(set.Reports.Every), set.Sharing != nil
			for _, z := range set.Zones {
				s.Zones = append(s.Zones, z.Name)
			}
			var pack *pack
			if spawned > 0 {
				dir, err := os.MkdirTemp("", "lichenpick-swarm-")
				if err != nil {
					return err
				}
				defer os.RemoveAll(dir)
				if cores > 0 {
					set.Cores = proto.Uint32(uint32(cores))
				}
				if pack, err = newPack(set, s.Proxies, spawned, dir); err != nil {
					return err
				}
				s.Planners, s.List = pack.addresses, pack.list
				if err := s.Prepare(); err != nil {
					return err
				}
				defer pack.stop()
				if err := pack.start(c.Context()); err != nil {
					return err
				}
			}
			ctx, cancel := context.WithCancel(c.Context())
			defer cancel()
			watched := make(chan struct{})
			go func() {
				defer close(watched)
				if pack != nil {
					pack.watch(ctx, s.Clock, killAt, backAfter, ms)
				}
			}()
			r, err := s.Run(ctx, ms)
			cancel()
			<-watched
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "proxies x servers\tdials\tbound\tall bound ms\tmessages\torders\tapplied ms p50\tp99\tp99.9\tmax\tmost messages in 10 s\tbytes up, down a proxy and s\ttakeovers\tbare ms p50\tp99\tmax")
			each := float64(s.Proxies) * ms / 1000
			fmt.Fprintf(t, "%dx%d\t%d\t%d\t%.0f\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.0f, %.0f\t%d\t%.1f\t%.1f\t%.1f\n", s.Proxies, s.Servers, r.Dials, r.Assigned, r.AllAssignedMs,
				r.Messages, r.Orders, r.P50Ms, r.P99Ms, r.P999Ms, r.MaxMs, r.MaxMessages, float64(r.BytesUp)/each, float64(r.BytesDown)/each, r.Takeovers, r.WithoutLeaderP50, r.WithoutLeaderP99, r.WithoutLeaderMax)
			t.Flush()
			if pack != nil {
				return pack.report(c.OutOrStdout())
			}
			return nil
		},
	}
	c.Flags().StringVarP(&file, "config", "c", "", "the planner's settings file")
	c.Flags().IntVar(&s.Proxies, "proxies", 100, "proxies")
	c.Flags().IntVar(&s.Servers, "servers", 50, "servers in the list")
	c.Flags().Float64Var(&s.RequestsPerSecond, "rate", 5, "flows a proxy and second")
	c.Flags().Float64Var(&s.DrainIntervalMs, "flip-ms", 2000, "ms between changes of the list: one server drains, or is ready again")
	c.Flags().Float64Var(&s.JoinSpreadMs, "join-over-ms", 100, "ms over which the joins are spread")
	c.Flags().Int64Var(&s.Seed, "seed", 1, "seed of chance")
	c.Flags().StringVar(&length, "length", "20s", "how long")
	c.Flags().IntVar(&spawned, "spawn", 0, "planners to start; 0: one runs already")
	c.Flags().IntVar(&cores, "planner-cores", 0, "cores that each of these may use; 0: what their file says")
	c.Flags().Float64Var(&killAt, "kill-at-ms", 0, "ms after which the second planner is killed; 0: never")
	c.Flags().Float64Var(&backAfter, "back-after-ms", 5000, "ms after which it is started again")
	return c
}

// pack is some planners as processes, made from one file.
type pack struct {
	list      string
	files     []string
	addresses []string
	statuses  []string
	running   []*exec.Cmd
	used      []time.Duration
	rss       []int64 // bytes
	last      []planner.Status
	proxies   int
	backAt    float64 // when the killed one was started again
	level     float64 // ms from then until it had nine tenths of its share
}

// newPack writes the files of planners on the next ports, and their stores where they share.
func newPack(base *pb.Planner, proxies, planners int, dir string) (*pack, error) {
	p := &pack{
		list: filepath.Join(dir, "list.txtpb"), running: make([]*exec.Cmd, planners), used: make([]time.Duration, planners),
		rss: make([]int64, planners), last: make([]planner.Status, planners), proxies: proxies,
	}
	for n := range planners {
		set := proto.Clone(base).(*pb.Planner)
		set.Name = fmt.Sprintf("planner-%d", n+1)
		set.Proxies, set.Planners = proto.Uint32(uint32(proxies)), proto.Uint32(uint32(planners))
		set.List.From.(*pb.ListSource_File).File.Path, set.List.Keep = p.list, ""
		if set.Status == "" {
			return nil, usage{fmt.Errorf("--spawn needs a planner file with a 'status' address")}
		}
		for _, at := range []*string{&set.Listen, &set.Status} {
			host, port, err := net.SplitHostPort(*at)
			if err != nil {
				return nil, err
			}
			first, err := strconv.Atoi(port)
			if err != nil {
				return nil, err
			}
			*at = net.JoinHostPort(host, strconv.Itoa(first+n))
		}
		if set.Sharing != nil {
			set.Sharing.Store = filepath.Join(dir, set.Name+".store")
			if err := store.Init(set.Sharing.Store, set.Name); err != nil {
				return nil, err
			}
		}
		path := filepath.Join(dir, set.Name+".txtpb")
		if err := os.WriteFile(path, []byte(settings.Format(set)), 0o600); err != nil {
			return nil, err
		}
		p.files, p.addresses, p.statuses = append(p.files, path), append(p.addresses, set.Listen), append(p.statuses, set.Status)
	}
	return p, nil
}

const startWithin = 5 * time.Second

func (p *pack) start(ctx context.Context) error {
	for n := range p.files {
		if err := p.run(n); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	for n := range p.files {
		for p.ask(n) != nil {
			if err := clock.Sleep(ctx, clock.NewReal(), 20); err != nil {
				return fmt.Errorf("%s did not come up: %w", p.files[n], err)
			}
		}
	}
	return nil
}

func (p *pack) run(n int) error {
	p.running[n] = spawn(p.files[n])
	return p.running[n].Start()
}

// ask takes in what a planner thinks of itself.
func (p *pack) ask(n int) error {
	c := &http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + p.statuses[n] + "/status")
	if err != nil {
		return err
	}
	defer r.Body.Close()
	return json.NewDecoder(r.Body).Decode(&p.last[n])
}

// end sends a signal and adds up what the process used.
func (p *pack) end(n int, sig os.Signal) {
	cmd := p.running[n]
	if cmd == nil {
		return
	}
	p.running[n] = nil
	cmd.Process.Signal(sig)
	cmd.Wait()
	p.used[n] += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		p.rss[n] = max(p.rss[n], u.Maxrss*1024)
	}
}

// watch asks the planners now and then, for the last time shortly before the end, and kills one if that is wanted.
func (p *pack) watch(ctx context.Context, c clock.Clock, killAt, backAfter, ms float64) {
	start, killed, back := c.Monotonic(), killAt <= 0 || len(p.files) < 2, false
	for clock.Sleep(ctx, c, 100) == nil {
		now := c.Monotonic() - start
		if !killed && now >= killAt {
			killed = true
			p.end(1, os.Kill)
		}
		if killAt > 0 && len(p.files) > 1 && !back && now >= killAt+backAfter {
			back, p.backAt = true, now
			p.run(1)
		}
		if p.backAt > 0 && p.level == 0 && p.running[1] != nil && p.ask(1) == nil && p.last[1].LeasesHeld*len(p.files)*10 >= 9*p.proxies {
			p.level = now - p.backAt
		}
		for n := range p.files {
			if p.running[n] != nil && now < ms-300 {
				p.ask(n)
			}
		}
	}
}

func (p *pack) stop() {
	for n := range p.running {
		p.end(n, syscall.SIGTERM)
	}
}

func (p *pack) report(out io.Writer) error {
	p.stop()
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "planner\tCPU s\tmost memory MB\tcommands\ttakeovers\thanded over\tran out\twrites to the store\tmessages\tlines waiting at most\tsums heard\tshed\treports merged\tlag ms")
	for n, s := range p.last {
		fmt.Fprintf(t, "%s\t%.2f\t%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d\t%d\t%d\t%.1f\n", s.Planner, p.used[n].Seconds(), float64(p.rss[n])/1e6, s.LeasesHeld,
			s.Takeovers, s.Transferred, s.Expired, s.EpochReservations, s.Messages, s.MaxBacklog, s.LoadReports, s.Shed, s.Merged, s.LagMs)
	}
	if p.level > 0 {
		fmt.Fprintf(t, "the one killed had nine tenths of its share %.1f s after it was started again\n", p.level/1000)
	}
	return t.Flush()
}
