package scenario

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"lichenpick/internal/clock"
	"lichenpick/internal/planner"
	"lichenpick/internal/settings"
	"lichenpick/internal/store"
	pb "lichenpick/proto/settings"
)

const (
	startAttempts     = 3                     // limit of attempts to start a planner; another process may take the chosen port
	startPollInterval = 20 * time.Millisecond // time between status requests to a planner that is starting
	// stopTimeout is the maximum time that a planner's process may take to exit. A process that takes longer counts as hung, and
	// the run counts as failed.
	stopTimeout = 5 * time.Second
)

// ErrNoSpawn is returned for a script with several planners if [Hooks.Spawn] is nil.
var ErrNoSpawn = errors.New("a script with several planners requires Hooks.Spawn")

// plannerProcess is a planner that runs in a process of its own.
type plannerProcess struct {
	fleet         *fleet
	name          string
	command       *exec.Cmd
	statusAddress string
	ended         chan struct{} // closed when the process has ended and command.ProcessState is set
}

// startProcess starts the planner as a process, and returns when the planner serves its status.
func (p *plannerInstance) startProcess(ctx context.Context, set *pb.Planner) error {
	if p.fleet.hooks.Spawn == nil {
		return ErrNoSpawn
	}
	var err error
	for range startAttempts {
		err = p.tryStartProcess(ctx, set)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// tryStartProcess makes one attempt to run the planner as a process, with ports that are free now.
func (p *plannerInstance) tryStartProcess(ctx context.Context, set *pb.Planner) error {
	file, err := p.writeSettings(set)
	if err != nil {
		return err
	}
	command := p.fleet.hooks.Spawn(file)
	if err := command.Start(); err != nil {
		return fmt.Errorf("starting the process: %w", err)
	}
	process := &plannerProcess{
		fleet:         p.fleet,
		name:          p.name,
		command:       command,
		statusAddress: set.Status,
		ended:         make(chan struct{}),
	}
	p.diskFault.attach(command.Process.Pid)
	p.process = process
	p.runtime = process
	p.fleet.group.Go(func() error {
		_ = command.Wait() // command.ProcessState states how the process ended
		close(process.ended)
		return nil
	})
	if err := process.waitUntilReady(ctx); err != nil {
		return err
	}
	p.relay.SetTarget(set.Listen)
	return nil
}

// writeSettings completes the planner's settings with free addresses, writes the settings to a file and returns the path of the
// file. If the planner needs a store, it creates an empty store.
func (p *plannerInstance) writeSettings(set *pb.Planner) (file string, err error) {
	set.Listen, err = freeAddress()
	if err != nil {
		return "", err
	}
	set.Status, err = freeAddress()
	if err != nil {
		return "", err
	}
	if set.Sharing != nil {
		err := store.Init(set.Sharing.Store, set.Name)
		if err != nil && !errors.Is(err, store.ErrExists) {
			return "", err
		}
	}
	file = filepath.Join(p.fleet.directory, p.name+".txtpb")
	if err := os.WriteFile(file, []byte(settings.Format(set)), 0o600); err != nil {
		return "", fmt.Errorf("writing planner settings: %w", err)
	}
	return file, nil
}

// freeAddress returns a loopback address with a port at which no process listens now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.1.1"+anyPort)
	if err != nil {
		return "", fmt.Errorf("finding a free port: %w", err)
	}
	address := listener.Addr().String()
	return address, listener.Close()
}

// waitUntilReady waits until the planner serves its status. If it returns an error, the process has ended or was killed.
func (p *plannerProcess) waitUntilReady(ctx context.Context) error {
	for {
		if _, err := p.status(ctx); err == nil {
			return nil
		}
		if p.hasEnded() {
			return fmt.Errorf("%s exited during its start: %v", p.name, p.command.ProcessState)
		}
		if err := p.fleet.sleep(ctx, startPollInterval); err != nil {
			p.signal(os.Kill)
			return err
		}
	}
}

// status fetches the planner's status.
func (p *plannerProcess) status(ctx context.Context) (*planner.Status, error) {
	return planner.FetchStatus(ctx, p.statusAddress)
}

// setDraining asks the planner to hand its proxies over to other planners, or to accept proxies again. The end of the run does
// not cancel the request, so that a drain can still be ended after the end of the run.
func (p *plannerProcess) setDraining(ctx context.Context, draining bool) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/drain?on=%t", p.statusAddress, draining)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("draining %s: %w", p.name, err)
	}
	return response.Body.Close()
}

// pause suspends the process.
func (p *plannerProcess) pause() { p.signal(syscall.SIGSTOP) }

// resume continues a paused process.
func (p *plannerProcess) resume() { p.signal(syscall.SIGCONT) }

// signal sends a signal to the process, unless it has ended.
func (p *plannerProcess) signal(signal os.Signal) {
	if err := p.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.fleet.log.Error("cannot signal a planner", "planner", p.name, "signal", signal.String(), "error", err)
	}
}

// hasEnded reports whether the process has ended.
func (p *plannerProcess) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// stop ends the process, by SIGTERM or SIGKILL, and waits until it has ended. A hung process is counted and killed.
func (p *plannerProcess) stop(kill bool) {
	f := p.fleet
	if status, err := p.status(context.Background()); err == nil {
		f.recordStatus(status)
	}
	if kill {
		p.signal(os.Kill)
	} else {
		p.signal(syscall.SIGTERM)
	}
	if !p.waitEnded(f.clock, stopTimeout) {
		f.log.Error("planner does not end, killing it", "planner", p.name)
		f.mu.Lock()
		f.hungPlanners++
		f.mu.Unlock()
		p.signal(os.Kill)
		<-p.ended
	}
	state := p.command.ProcessState
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plannerCPU += state.UserTime() + state.SystemTime()
}

// waitEnded waits for the process to end, for at most the timeout, and reports whether the process has ended.
func (p *plannerProcess) waitEnded(c clock.Clock, timeout time.Duration) bool {
	expired, stopTimer := c.NewTimer(milliseconds(timeout))
	defer stopTimer()
	select {
	case <-p.ended:
		return true
	case <-expired:
		return false
	}
}
