package lab

import (
	"testing"

	"spantack/emulator"
)

// BenchmarkEvents is the emulator on a calm day: events a second, with the routers' decisions in them.
func BenchmarkEvents(b *testing.B) {
	e, err := Load("cells-flood")
	if err != nil {
		b.Fatal(err)
	}
	for _, size := range []string{"small", "full"} {
		for _, arm := range []string{"none", "cells"} {
			b.Run(size+"/"+arm, func(b *testing.B) {
				events, cfg := int64(0), emulator.Config{}
				for b.Loop() {
					if cfg, err = e.configure(size, 1, e.Arms[arm], e.Days["calm"]); err != nil {
						b.Fatal(err)
					}
					w, err := emulator.New(cfg)
					if err != nil {
						b.Fatal(err)
					}
					res := w.Run()
					events += res.Events
				}
				b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
			})
		}
	}
}
