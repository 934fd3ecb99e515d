package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	pb "lichenpick/proto/settings"
)

const (
	plannerStartTimeout = 5 * time.Second
	plannerStartPollMs  = 20.0
	plannerPollMs       = 100.0
	// finalPollMarginMs is the length of the period at the end of the run in which the planners are not polled. A status
	// polled in this period could lack proxies that have disconnected because the run ends.
	finalPollMarginMs = 300.0
	// rebalancedTenths is the share of a lease quota, in tenths. A restarted planner that holds this share of its quota counts
	// as rebalanced.
	rebalancedTenths = 9
	// killedMember is the index of the planner that is killed.
	killedMember = 1
)

// errNoStatusAddress means that the settings of the planners to start have no status address, so polls would be impossible.
var errNoStatusAddress = errors.New("--spawn needs a planner file with a 'status' address")

// killSchedule states when the second planner of a group is killed and when this planner is restarted.
type killSchedule struct {
	atMs           float64 // time of the kill since the start of the run; 0: no kill
	restartAfterMs float64 // time from the kill to the restart
}

// plannerGroup is a group of planner processes whose settings are derived from one file.
type plannerGroup struct {
	list         string // path of the endpoint list file, which all members read
	proxies      int    // number of proxies in the fleet
	members      []*plannerMember
	restartedMs  float64 // time of the killed planner's restart, since the start of the run; 0: not yet
	rebalancedMs float64 // time from the restart until the planner held nine tenths of its lease quota; 0: not yet
}

// newPlannerGroup writes the settings files of all planners in the group, which use consecutive ports. If the planners share a
// fleet, newPlannerGroup also initialises the planners' stores.
func newPlannerGroup(template *pb.Planner, proxies, count int, directory string) (*plannerGroup, error) {
	if template.Status == "" {
		return nil, usageError{errNoStatusAddress}
	}
	group := &plannerGroup{list: filepath.Join(directory, "list.txtpb"), proxies: proxies}
	for number := range count {
		config := proto.CloneOf(template)
		config.Name = fmt.Sprintf("planner-%d", number+1)
		config.Proxies = proto.Uint32(uint32(proxies))
		config.Planners = proto.Uint32(uint32(count))
		config.List.GetFile().Path = group.list
		config.List.Keep = ""
		member, err := newPlannerMember(config, number, directory)
		if err != nil {
			return nil, fmt.Errorf("preparing %s: %w", config.Name, err)
		}
		group.members = append(group.members, member)
	}
	return group, nil
}

// addresses returns the addresses at which the planners listen for proxies.
func (g *plannerGroup) addresses() []string {
	var addresses []string
	for _, member := range g.members {
		addresses = append(addresses, member.address)
	}
	return addresses
}

// start starts all planners, and returns when each of them serves its status.
func (g *plannerGroup) start(ctx context.Context) error {
	for _, member := range g.members {
		if err := member.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, plannerStartTimeout)
	defer cancel()
	realClock := clock.NewReal()
	for _, member := range g.members {
		for member.poll() != nil {
			if err := clock.Sleep(ctx, realClock, plannerStartPollMs); err != nil {
				return fmt.Errorf("waiting for the planner of %s to start: %w", member.file, err)
			}
		}
	}
	return nil
}

// watch polls the planners until the context ends, and kills and restarts one planner according to the schedule. lengthMs is
// the length of the run.
func (g *plannerGroup) watch(ctx context.Context, c clock.Clock, kill killSchedule, lengthMs float64) error {
	startMs := c.Monotonic()
	pending := kill.atMs > 0 && len(g.members) > killedMember
	for clock.Sleep(ctx, c, plannerPollMs) == nil {
		nowMs := c.Monotonic() - startMs
		if pending && nowMs >= kill.atMs {
			pending = false
			g.members[killedMember].stop(os.Kill)
		}
		if g.restartDue(kill, nowMs) {
			g.restartedMs = nowMs
			if err := g.members[killedMember].start(); err != nil {
				return err
			}
		}
		g.checkRebalanced(nowMs)
		if nowMs < lengthMs-finalPollMarginMs {
			g.pollAll()
		}
	}
	return nil
}

// restartDue reports whether the time has come to restart the killed planner.
func (g *plannerGroup) restartDue(kill killSchedule, nowMs float64) bool {
	scheduled := kill.atMs > 0 && len(g.members) > killedMember
	return scheduled && g.restartedMs == 0 && nowMs >= kill.atMs+kill.restartAfterMs
}

// checkRebalanced records when the restarted planner first holds nine tenths of its quota of leases.
func (g *plannerGroup) checkRebalanced(nowMs float64) {
	if g.restartedMs == 0 || g.rebalancedMs > 0 {
		return
	}
	member := g.members[killedMember]
	if member.command == nil || member.poll() != nil {
		return
	}
	// The lease quota is proxies / members, which need not be an integer. The comparison therefore multiplies both sides by the
	// number of members.
	if 10*len(g.members)*member.status.LeasesHeld >= rebalancedTenths*g.proxies {
		g.rebalancedMs = nowMs - g.restartedMs
	}
}

// pollAll polls the running planners. A planner that does not answer keeps its last status.
func (g *plannerGroup) pollAll() {
	for _, member := range g.members {
		if member.command != nil {
			_ = member.poll()
		}
	}
}

// stop stops all planners with SIGTERM, and waits until they have exited.
func (g *plannerGroup) stop() {
	for _, member := range g.members {
		member.stop(syscall.SIGTERM)
	}
}

// print prints a table with the resource usage and counters of each planner.
func (g *plannerGroup) print(out io.Writer) error {
	var table strings.Builder
	table.WriteString("planner\tCPU s\tmax memory MB\tleases\ttakeovers\ttransferred\texpired\tepoch reservations\tmessages\t" +
		"max backlog\tload reports\tshed\treports merged\tlag ms\n")
	for _, member := range g.members {
		status := &member.status
		fmt.Fprintf(&table, "%s\t%.2f\t%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d\t%d\t%d\t%.1f\n",
			status.Planner, member.cpu.Seconds(), float64(member.maxRSSBytes)/1e6, status.LeasesHeld,
			status.Takeovers, status.Transferred, status.Expired, status.EpochReservations, status.Messages,
			status.MaxBacklog, status.LoadReports, status.Shed, status.Merged, status.LagMs)
	}
	if g.rebalancedMs > 0 {
		fmt.Fprintf(&table, "the killed planner held nine tenths of its quota %.1f s after it was started again\n", g.rebalancedMs/1000)
	}
	return writeTable(out, table.String())
}
