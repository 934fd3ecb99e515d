package policy

import "math"

// This file implements ADMM-20 for affine costs, section III-D of the paper that docs/design.md names, with rho 1. The code
// keeps the letters of the paper: i is a client, j a server, D demand, C capacity, L a cost. Type cell explains alpha, beta
// and lambda.

// solve runs ADMM and updates the cells in place; their initial values are a warm start. D has a mean of 1, C is in the unit
// of D, and a cost is infinite where the client may not use the server.
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

// solveAlpha applies Lemma 3: alpha_ij = max(beta_ij - D_i L_ij - lambda_ij - mu, 0), with mu such that the alphas of the
// client sum to 1. v and d are buffers.
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

// solveBeta applies Lemma 1 with prices of zero: beta_ij = max(lambda_ij + alpha_ij - D_i nu, 0), with the smallest nu >= 0
// that keeps the sum over i of D_i beta_ij within C_j. v and d are buffers.
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

// updateLambda is the dual step of ADMM-20, lambda += rho (alpha - beta). The limit keeps a price from outlasting the
// overload that caused it.
func updateLambda(j int, cells [][]cell, limit float64) {
	for i := range cells {
		c := &cells[i][j]
		c.lambda = math.Min(math.Max(c.lambda+c.alpha-c.beta, -limit), limit)
	}
}

// waterLevel returns the nu for which the terms d*max(v-d*nu, 0) sum to C, the water-filling step of both lemmas. It starts
// with all terms and drops those that are not positive, which only raises nu. The search ends when the set of terms does not
// shrink: otherwise, rounding could drop and take back a term at the water level for ever.
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
