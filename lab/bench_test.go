package lab

import (
	"testing"

	"spantack/emulator"
)

// BenchmarkEvents measures the events per second of the emulator on a calm day, including the routers' decisions.
func BenchmarkEvents(b *testing.B) {
	e, err := Load("cells-flood")
	if err != nil {
		b.Fatal(err)
	}
	for _, size := range []string{"small", "full"} {
		for _, arm := range []string{"none", "cells"} {
			b.Run(size+"/"+arm, func(b *testing.B) {
				events := int64(0)
				for b.Loop() {
					cfg, err := e.configure(size, 1, e.Arms[arm], e.Days["calm"])
					if err != nil {
						b.Fatal(err)
					}
					world, err := emulator.New(cfg)
					if err != nil {
						b.Fatal(err)
					}
					result := world.Run()
					events += result.Events
				}
				b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
			})
		}
	}
}
