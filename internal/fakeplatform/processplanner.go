package fakeplatform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"lichenpick/internal/clock"
)

const (
	lineEnd         = "\r\n"
	writeTimeoutMs  = 2000.0
	maxLineBytes    = 1 << 20
	inboxEvents     = 1024 // events of connections that may wait for the model
	loopbackAddress = "127.0.0.1:0"
	pollMs          = 50.0 // of the model's queue where no event is scheduled
)

// Processes holds the planners of a platform as processes of their own, on loopback.
type Processes struct {
	Clock    clock.Clock
	Network  clock.Network
	Folder   string                            // for configurations and logs
	Command  func(configPath string) *exec.Cmd // returns the command that runs a planner
	inbox    chan func()                       // what connections received, for the goroutine of the model
	platform *Platform
	planners []*processPlanner
}

// processPlanner is a planner that runs as a process of its own.
type processPlanner struct {
	processes *Processes
	name      string
	address   string
	discovery *discoveryAgent
	command   *exec.Cmd
	ended     chan struct{}
	logFile   *os.File
}

// NewProcesses returns a platform whose planners are processes. Close ends them.
func NewProcesses(ctx context.Context, config Config, processes *Processes) (*Platform, error) {
	processes.inbox = make(chan func(), inboxEvents)
	config.OriginUnixMs = float64(processes.Clock.WallTime().UnixMilli())
	var planners []Planner
	for number := range config.Planners {
		agent, err := startDiscovery(ctx, processes.Clock, processes.Network)
		if err != nil {
			return nil, err
		}
		address, err := freeAddress(ctx, processes.Network)
		if err != nil {
			return nil, err
		}
		planner := &processPlanner{processes: processes, name: fmt.Sprintf("n%d", number), address: address, discovery: agent}
		processes.planners = append(processes.planners, planner)
		planners = append(planners, planner)
	}
	processes.platform = New(config, planners...)
	return processes.platform, nil
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress(ctx context.Context, network clock.Network) (string, error) {
	listener, err := network.Listen(ctx, loopbackAddress)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// Run plays the platform on the clock for a time.
func (s *Processes) Run(ctx context.Context, lengthMs float64) error {
	startMs := s.Clock.Monotonic()
	for {
		nowMs := s.Clock.Monotonic() - startMs
		s.platform.RunUntil(nowMs)
		if nowMs >= lengthMs {
			return nil
		}
		waitMs := pollMs
		if nextMs, scheduled := s.platform.NextMs(); scheduled {
			waitMs = min(waitMs, nextMs-nowMs)
		}
		fired, stop := s.Clock.NewTimer(waitMs)
		select {
		case handle := <-s.inbox:
			s.platform.RunUntil(s.Clock.Monotonic() - startMs)
			handle()
		case <-fired:
		case <-ctx.Done():
			stop()
			return ctx.Err()
		}
		stop()
	}
}

// Close ends all planners and their discovery agents.
func (s *Processes) Close() error {
	var failures []error
	for _, planner := range s.planners {
		if planner.command != nil {
			failures = append(failures, planner.end(syscall.SIGKILL))
		}
		failures = append(failures, planner.discovery.Close())
	}
	return errors.Join(failures...)
}

// Start implements Planner. A planner that can't be started shows as one that takes no connections.
func (p *processPlanner) Start(known List) {
	if err := p.start(known); err != nil {
		p.processes.platform.violate("starting planner %s: %v", p.name, err)
	}
}

func (p *processPlanner) start(known List) error {
	p.discovery.reset(known)
	path := filepath.Join(p.processes.Folder, p.name+".json")
	config := p.processes.platform.config.PlannerConfig(p.name, p.address, p.discovery.address(), known)
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return err
	}
	var err error
	p.logFile, err = os.OpenFile(filepath.Join(p.processes.Folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = p.processes.Command(path)
	p.command.Stdout = p.logFile
	p.command.Stderr = p.logFile
	if err := p.command.Start(); err != nil {
		p.command = nil
		return errors.Join(err, p.logFile.Close())
	}
	p.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait() // that the process was ended by a signal is no failure here
		close(ended)
	}(p.command, p.ended)
	return nil
}

// Stop implements Planner.
func (p *processPlanner) Stop() {
	if p.command == nil {
		return
	}
	if err := p.end(syscall.SIGTERM); err != nil {
		p.processes.platform.violate("stopping planner %s: %v", p.name, err)
	}
}

// end sends the process a signal and waits until it has ended.
func (p *processPlanner) end(signal syscall.Signal) error {
	failure := p.command.Process.Signal(signal)
	if errors.Is(failure, os.ErrProcessDone) {
		failure = nil
	}
	<-p.ended
	p.command = nil
	return errors.Join(failure, p.logFile.Close())
}

// Notify implements Planner.
func (p *processPlanner) Notify(list List) { p.discovery.publish(list) }

// Connect implements Planner.
func (p *processPlanner) Connect(peer Peer) (Connection, error) {
	connection, err := p.processes.Network.Dial(context.Background(), netip.Addr{}, p.address)
	if err != nil {
		return nil, err
	}
	stream := &processStream{Conn: connection, processes: p.processes}
	go stream.read(peer)
	return stream, nil
}

// processStream is a TCP connection to a planner.
type processStream struct {
	net.Conn
	processes *Processes
}

// read passes received lines to the peer until the connection ends.
func (s *processStream) read(peer Peer) {
	lines := bufio.NewScanner(s.Conn)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Text()
		s.processes.inbox <- func() { peer.Receive(line) }
	}
	s.processes.inbox <- func() {
		s.Close()
		peer.Lost()
	}
}

// Send implements Connection. A failure shows at the reader, as the connection is closed.
func (s *processStream) Send(line string) {
	err := s.SetWriteDeadline(s.processes.Clock.Deadline(writeTimeoutMs))
	if err == nil {
		_, err = io.WriteString(s.Conn, strings.TrimSuffix(line, lineEnd)+lineEnd)
	}
	if err != nil {
		s.Close()
	}
}

// Close implements Connection.
func (s *processStream) Close() {
	if err := s.Conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.processes.platform.violate("closing a connection: %v", err)
	}
}
