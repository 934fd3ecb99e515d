package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// solveRepeatedly runs the solver several times, each time from the cells of the last run, and returns the cells.
func solveRepeatedly(D, C []float64, cost [][]float64, solves int) [][]cell {
	cells := make([][]cell, len(D))
	for i := range cells {
		cells[i] = make([]cell, len(C))
		for j := range C {
			cells[i][j] = cell{alpha: 1 / float64(len(C)), beta: 1 / float64(len(C))}
		}
	}
	for range solves {
		solve(D, C, cost, cells, maxLambda)
	}
	return cells
}

func TestWaterLevel(t *testing.T) {
	t.Run("Lemma 3 by hand", func(t *testing.T) {
		checkNear(t, "mu", waterLevel([]float64{0.9, 0.5, -0.2}, []float64{1, 1, 1}, 1), 0.2, 1e-12)
		checkNear(t, "mu below zero", waterLevel([]float64{0.1, 0.2}, []float64{1, 1}, 1), -0.35, 1e-12)
	})
	t.Run("Lemma 1 by hand", func(t *testing.T) {
		// 1*(0.8-nu) + 2*(0.5-2nu) = 0.8, so nu = 0.2.
		checkNear(t, "nu", waterLevel([]float64{0.8, 0.5}, []float64{1, 2}, 0.8), 0.2, 1e-12)
		// If the terms must sum to 0.2, then 0.8-nu = 0.2, so nu = 0.6: the second term is 0, as 0.5-2nu is negative.
		checkNear(t, "nu, one client at zero", waterLevel([]float64{0.8, 0.5}, []float64{1, 2}, 0.2), 0.6, 1e-12)
	})
}

// Shares that tie at the water level, with a capacity of 0, made the search alternate between two sets of terms for ever, by
// rounding. In exact arithmetic the sets only shrink, so it is safe to end the search when a set does not shrink.
func TestWaterLevelTerminates(t *testing.T) {
	v := []float64{0.24655817925974133, 0.17259072548181892, 0.004931163585194826, 0.24655817925974133}
	ended := make(chan float64, 1)
	go func() { ended <- waterLevel(v, []float64{1, 0.7, 0.02, 1}, 0) }()
	select {
	case nu := <-ended:
		if math.Abs(nu-v[0]) > 1e-9 {
			t.Errorf("water level is %g, want 0.24656", nu)
		}
	case <-time.After(20 * time.Second):
		t.Error("waterLevel did not return within 20 s")
	}
}

func TestSolve(t *testing.T) {
	inf := math.Inf(1)
	t.Run("with ample capacities, all requests go to the cheapest server", func(t *testing.T) {
		cells := solveRepeatedly([]float64{1}, []float64{5, 5}, [][]float64{{0, 0.1}}, 5)
		checkNear(t, "alpha of the cheapest server", cells[0][0].alpha, 1, 0.01)
	})
	t.Run("requests beyond a binding capacity go to the other server", func(t *testing.T) {
		cells := solveRepeatedly([]float64{1, 1}, []float64{0.5, 5}, [][]float64{{0, 0.1}, {inf, 0}}, 20)
		checkNear(t, "alpha of the server at its capacity", cells[0][0].alpha, 0.5, 0.02)
		checkNear(t, "alpha of a server that the client may not use", cells[1][0].alpha, 0, 0)
		checkNear(t, "sum of alphas", cells[0][0].alpha+cells[0][1].alpha, 1, 1e-9)
	})
	t.Run("with tight capacities, each client uses its cheapest server", func(t *testing.T) {
		cells := solveRepeatedly([]float64{1, 1}, []float64{1, 1}, [][]float64{{0, 0.1}, {0.1, 0}}, 20)
		checkNear(t, "alpha of the first client at its cheapest server", cells[0][0].alpha, 1, 0.02)
		checkNear(t, "alpha of the second client at its cheapest server", cells[1][1].alpha, 1, 0.02)
	})
	t.Run("a client that may use one server, and a client without demand", func(t *testing.T) {
		cells := solveRepeatedly([]float64{2, minDemand}, []float64{1, 3}, [][]float64{{inf, 0}, {0, 0}}, 5)
		checkNear(t, "alpha of the only server", cells[0][1].alpha, 1, 1e-9)
		checkNear(t, "sum of alphas of the client without demand", cells[1][0].alpha+cells[1][1].alpha, 1, 1e-9)
	})
	t.Run("no servers", func(*testing.T) { solveRepeatedly([]float64{1}, nil, [][]float64{{}}, 1) })
}

func TestSolveRespectsCapacitiesAtAnyFleetSize(t *testing.T) {
	for _, servers := range []int{4, 20, 100} {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			D := []float64{0.2, 1.8, 0.2, 1.8, 0.2, 1.8}
			C := make([]float64, servers)
			cost := make([][]float64, len(D))
			for j := range C {
				C[j] = float64(len(D)) * capacityHeadroom / float64(servers)
			}
			for i := range D {
				cost[i] = make([]float64, servers)
				for j := range C {
					cost[i][j] = (1 + 0.3*float64((i+j)%3)) / float64(servers) * costScale
				}
			}
			cells := solveRepeatedly(D, C, cost, 3)
			for j := range C {
				load := 0.0
				for i := range D {
					load += cells[i][j].alpha * D[i]
				}
				if load > 1.1*C[j] {
					t.Errorf("load is %.3f on a server of capacity %.3f", load, C[j])
				}
			}
		})
	}
}

func TestCapacitiesScaleToDemandExceptOfColdServers(t *testing.T) {
	f := startFleet(testSettings(), 4)
	f.planner.servers[0].StartedMs = f.nowMs
	C := f.planner.capacities(f.planner.servers, 20)
	checkNear(t, "sum of capacities", C[0]+C[1]+C[2]+C[3], capacityHeadroom, 0.5)
	if C[0] > 0.25*0.2 {
		t.Errorf("capacity of the cold server is %.3f of all demand, want at most 0.05", C[0])
	}
}
