package lab

import "fmt"

// shapes plays a trial of shapes: one run for each guard against circles.
func (e *Experiment) shapes(size string, seed uint64, tick func(done, all int)) (*Outcome, error) {
	trial, known := e.Shapes[size]
	if !known {
		return nil, fmt.Errorf("size %q: there is none", size)
	}
	res, err := trial.Run(seed)
	if err != nil {
		return nil, err
	}
	if tick != nil {
		tick(1, 1)
	}
	var runs []Run
	for _, guard := range sorted(res.Ways) {
		w := res.Ways[guard]
		n := float64(max(res.Fills, 1))
		runs = append(runs, Run{Arm: guard, Day: "changes", Figures: map[string]float64{
			"valid": float64(res.Valid), "validRefused": float64(res.ValidRefused), "planted": float64(res.Planted), "plantedTaken": float64(res.PlantedTaken),
			"misnamed": float64(res.Misnamed), "fills": float64(res.Fills), "twice": float64(w.Twice), "served": round(float64(w.Served) / n),
			"stuck": round(float64(w.Stuck) / n), "hops": round(float64(w.Hops) / n)}})
	}
	return e.outcome(size, seed, runs)
}
