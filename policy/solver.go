package policy

import "math"

// The paper's ADMM-20 for affine costs (section III-D of the paper in docs/design.md), with rho 1. Its
// letters are kept: i is a client, j a server, D demand, C capacity. Alpha, beta and lambda are explained at
// type cell.

// solve runs ADMM and updates the cells of each client and server in place; they come warm from the last
// solve. D averages 1, C is in the unit of D, and a cost is infinite where the client may not use the server.
func solve(D, C []float64, cost [][]float64, cells [][]cell, lambdaLimit float64) {
	v := make([]float64, len(C)+len(D))
	d := make([]float64, len(C)+len(D))
	for range admmIterations {
		for i := range D {
			solveAlpha(D[i], cost[i], cells[i], v[:len(C)], d[:len(C)])
		}
		for j := range C {
			solveBeta(j, D, C[j], cells, v[:len(D)], d[:len(D)])
			updateLambda(j, cells, lambdaLimit)
		}
	}
}

// solveAlpha is Lemma 3: alpha_ij = max(beta_ij - D_i L_ij - lambda_ij - mu, 0), with mu such that they sum
// to 1.
func solveAlpha(D float64, cost []float64, cells []cell, v, d []float64) {
	for j, c := range cells {
		v[j] = c.beta - D*cost[j] - c.lambda
		d[j] = 1
	}
	mu := waterLevel(v, d, 1)
	for j := range cells {
		cells[j].alpha = math.Max(v[j]-mu, 0)
	}
}

// solveBeta is Lemma 1 with prices zero: beta_ij = max(lambda_ij + alpha_ij - D_i nu, 0), with nu the least
// that is not negative and keeps the sum over i of D_i beta_ij within C_j.
func solveBeta(j int, D []float64, C float64, cells [][]cell, v, d []float64) {
	for i := range D {
		v[i] = math.Max(cells[i][j].lambda+cells[i][j].alpha, 0)
		d[i] = D[i]
	}
	nu := math.Max(waterLevel(v, d, C), 0)
	for i := range D {
		cells[i][j].beta = math.Max(v[i]-D[i]*nu, 0)
	}
}

// updateLambda is the dual step of ADMM-20, lambda += rho (alpha - beta). The limit guards against a price
// that outlives the overload that made it.
func updateLambda(j int, cells [][]cell, limit float64) {
	for i := range cells {
		c := &cells[i][j]
		c.lambda = math.Min(math.Max(c.lambda+c.alpha-c.beta, -limit), limit)
	}
}

// waterLevel finds the nu for which d*max(v-d*nu, 0) sum to C: the water-filling of both lemmas. It begins
// with all terms and leaves out those that are not positive, which only raises nu. A set that does not shrink
// ends the search: guards against a term at the line that rounding would leave out and take back for ever.
func waterLevel(v, d []float64, C float64) float64 {
	nu := -math.MaxFloat64
	previous := math.MaxInt
	for {
		sumDV, sumDD := 0.0, 0.0
		positive := 0
		for i := range v {
			if v[i] > d[i]*nu {
				sumDV += d[i] * v[i]
				sumDD += d[i] * d[i]
				positive++
			}
		}
		if positive >= previous || positive == 0 {
			return nu
		}
		nu = (sumDV - C) / sumDD
		previous = positive
	}
}
