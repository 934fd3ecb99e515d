package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/internal/fake"
	"lichenpick/internal/planner"
	"lichenpick/internal/settings"
	"lichenpick/internal/store"
	pb "lichenpick/proto/settings"
)

// control is a planner with its relays: in this process where there is one, else in its own, so that it can be paused
// and killed.
type control struct {
	f         *fleet
	name      string
	relay     *fake.Relay // between proxies and it
	listRelay *fake.Relay // between the list and it
	node      *node       // stands for it in link rules
	status    string      // address, of a process

	stop  func() // ends the one in this process
	ended chan struct{}
	cmd   *exec.Cmd

	mu     sync.Mutex
	noDisk bool // writes of its process fail
}

func (f *fleet) planners() int {
	if f.hooks.SinglePlanner || f.hooks.Baseline != "" {
		return 1
	}
	return int(f.script.GetControllers())
}

func (f *fleet) shared() bool { return f.script.Sharing && f.planners() > 1 && !f.hooks.Unshared }

func (f *fleet) newControl(ctx context.Context, n int, registry string) (*control, error) {
	c := &control{f: f, name: fmt.Sprintf("planner-%d", n+1)}
	c.node = &node{control: c, zone: -1}
	c.listRelay = &fake.Relay{Clock: f.clock, Network: f.net, Observe: func(netip.Addr) fake.Observer {
		return &listWatch{j: f.judge, planner: c.name, down: controlstream.NewDecoder(watchedFrame)}
	}}
	if _, err := c.listRelay.Start(ctx, "127.0.0.1:0", registry); err != nil {
		return nil, err
	}
	c.relay = &fake.Relay{Clock: f.clock, Network: f.net, Observe: func(netip.Addr) fake.Observer { return newStreamWatch(f.judge, c.name) }}
	_, err := c.relay.Start(ctx, "127.0.0.1:0", "")
	return c, err
}

func (c *control) settings() (*pb.Planner, error) {
	f, s := c.f, c.f.script
	proxies, planners := uint32(f.count()), uint32(f.planners())
	set := &pb.Planner{
		Name: c.name, Listen: "127.0.0.1:0", Groups: s.Groups, Channel: s.Channel, Reports: s.Reports, Servers: s.Limits,
		Streams: &pb.Streams{}, Proxies: &proxies, Planners: proto.Uint32(min(planners, proxies)),
		List: &pb.ListSource{
			Keep: filepath.Join(f.dir, c.name+"-list.txtpb"),
			From: &pb.ListSource_Stream{Stream: &pb.StreamList{Address: c.listRelay.Address(), Redial: "200ms"}},
		},
		Dump: filepath.Join(f.dir, c.name+"-dump.txt"),
	}
	for n, p := range s.Places {
		set.Zones = append(set.Zones, &pb.Zone{Name: p.Name, Prefixes: []string{fmt.Sprintf("127.%d.0.0/16", n+1)}})
	}
	set.Cores = s.PlannerCores
	if f.shared() {
		set.Sharing = &pb.Sharing{Store: filepath.Join(f.dir, c.name+".store")}
	}
	if f.hooks.Planner != nil {
		f.hooks.Planner(set)
	}
	// Read back through the check, which fills in what the script leaves to the settings' own defaults.
	full := &pb.Planner{}
	return full, settings.Parse(c.name+" of the rehearsal", []byte(settings.Format(set)), full)
}

func (c *control) start(ctx context.Context) error {
	set, err := c.settings()
	if err != nil {
		return err
	}
	if c.f.planners() > 1 {
		return c.spawn(ctx, set)
	}
	return c.inside(ctx, set)
}

// inside runs a planner in this process.
func (c *control) inside(ctx context.Context, set *pb.Planner) error {
	f := c.f
	decider := planner.NewPolicy(set)
	if f.hooks.Baseline != "" {
		decider = newEven(f.hooks.Baseline == "size", len(set.Groups))
	}
	if f.hooks.Decider != nil {
		decider = f.hooks.Decider(decider)
	}
	running, cancel := context.WithCancel(ctx)
	ready, failed, ended := make(chan net.Addr, 1), make(chan error, 1), make(chan struct{})
	f.group.Go(func() error {
		defer close(ended)
		err := planner.Run(running, planner.Options{
			Settings: set, Clock: f.clock, Network: f.net, Log: f.log, Decider: decider,
			Source: &discovery.StreamSource{Address: c.listRelay.Address(), ReconnectDelayMs: 200, HeartbeatTimeoutMs: 5000, MaxFrameBytes: 16 << 20, Clock: f.clock, Network: f.net},
			Ready:  func(a net.Addr) { ready <- a }, Status: c.keep,
		})
		if err != nil {
			failed <- err
		}
		return err
	})
	c.stop, c.ended = cancel, ended
	select {
	case a := <-ready:
		c.relay.SetTarget(a.String())
		return nil
	case err := <-failed:
		cancel()
		return err
	case <-ctx.Done():
		cancel()
		return ctx.Err()
	}
}

func (c *control) keep(s *planner.Status) {
	c.f.mu.Lock()
	c.f.status = append(c.f.status, s)
	c.f.mu.Unlock()
}

// endWithinMs is how long a planner's process may take to end; one that takes longer hangs, and the day has failed.
const endWithinMs = 5000.0

// free gives an address that nobody listens at now.
func free() (string, error) {
	l, err := net.Listen("tcp", "127.0.1.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// spawn runs a planner in a process of its own.
func (c *control) spawn(ctx context.Context, set *pb.Planner) (err error) {
	for range 3 { // a free port may be taken by another process until the planner listens
		if err = c.try(ctx, set); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (c *control) try(ctx context.Context, set *pb.Planner) (err error) {
	if c.f.hooks.Spawn == nil {
		return errors.New("several controllers need a way to run them as processes")
	}
	if set.Listen, err = free(); err != nil {
		return err
	}
	if set.Status, err = free(); err != nil {
		return err
	}
	if set.Sharing != nil {
		if err := store.Init(set.Sharing.Store, set.Name); err != nil && !errors.Is(err, store.ErrExists) {
			return err
		}
	}
	file := filepath.Join(c.f.dir, c.name+".txtpb")
	if err := os.WriteFile(file, []byte(settings.Format(set)), 0o600); err != nil {
		return err
	}
	cmd := c.f.hooks.Spawn(file)
	if err := cmd.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	if c.noDisk {
		limitFiles(cmd.Process.Pid, true)
	}
	c.mu.Unlock()
	ended := make(chan struct{})
	c.cmd, c.ended, c.status = cmd, ended, set.Status
	go func() {
		cmd.Wait()
		close(ended)
	}()
	for {
		if _, err := c.ask(ctx); err == nil {
			c.relay.SetTarget(set.Listen)
			return nil
		}
		select {
		case <-ended:
			return fmt.Errorf("%s ended at its start: %v", c.name, cmd.ProcessState)
		default:
		}
		if err := clock.Sleep(ctx, c.f.clock, 20); err != nil {
			cmd.Process.Kill()
			return err
		}
	}
}

// ask reads a process's status.
func (c *control) ask(ctx context.Context) (*planner.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.status+"/status", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	s := &planner.Status{}
	return s, json.NewDecoder(resp.Body).Decode(s)
}

// full makes writes to files fail in its process, now and when it starts again, or ends that.
func (c *control) full(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noDisk = on
	if c.cmd != nil {
		limitFiles(c.cmd.Process.Pid, on) // one that has ended needs none
	}
}

// limitFiles lets a process write to no file, or to any. The kernel refuses its writes then, as on a full disk.
func limitFiles(pid int, on bool) {
	most := uint64(unix.RLIM_INFINITY)
	if on {
		most = 0
	}
	unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: most, Max: unix.RLIM_INFINITY}, nil)
}

// drain asks a process to hand its proxies over, or to take part again.
func (c *control) drain(on bool) error {
	resp, err := http.Post(fmt.Sprintf("http://%s/drain?on=%t", c.status, on), "", nil)
	if err != nil {
		return err
	}
	resp.Body.Close()
	return nil
}

// end stops the planner: by a goodbye, or without a word after some bytes of each stream.
func (c *control) end(kill bool, after int) {
	f := c.f
	relinked := func() {}
	if kill && after > 0 {
		relinked = f.link(func(_ netip.Addr, to *node) fake.LinkFault { return fake.LinkFault{Cut: to == c.node, After: after} })
		clock.Sleep(context.Background(), f.clock, 50)
	}
	switch {
	case c.cmd != nil:
		if s, err := c.ask(context.Background()); err == nil {
			c.keep(s)
		}
		signal := syscall.SIGTERM
		if kill {
			signal = syscall.SIGKILL
		}
		c.cmd.Process.Signal(signal)
	default:
		if kill && after == 0 {
			relinked = f.link(func(_ netip.Addr, to *node) fake.LinkFault { return fake.LinkFault{Cut: to == c.node} })
		}
		c.stop()
	}
	if c.cmd != nil {
		late, stop := f.clock.NewTimer(endWithinMs)
		defer stop()
		select {
		case <-c.ended:
		case <-late:
			f.log.Error("a planner does not end; killing it", "planner", c.name)
			f.mu.Lock()
			f.hung++
			f.mu.Unlock()
			c.cmd.Process.Kill()
		}
	}
	<-c.ended
	if c.cmd != nil {
		p := c.cmd.ProcessState
		f.mu.Lock()
		f.cpuMs += float64(p.UserTime()+p.SystemTime()) / float64(time.Millisecond)
		f.mu.Unlock()
	}
	c.relay.Disconnect(func(netip.Addr) bool { return true })
	relinked()
	f.judge.mu.Lock()
	f.judge.checker.RecordPlannerExit(c.name, f.clock.Monotonic())
	f.judge.mu.Unlock()
}

// finish ends all processes that still run, at the end of a day.
func (f *fleet) finish() {
	for _, c := range f.controls {
		if c.cmd == nil {
			continue
		}
		select {
		case <-c.ended:
		default:
			c.cmd.Process.Signal(syscall.SIGCONT)
			c.end(false, 0)
		}
	}
}
