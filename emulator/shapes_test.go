package emulator

import "testing"

// Each planted circle is refused and named, no valid shape is, and a fill that carries its path visits no node twice; without a guard many do.
func TestShapes(t *testing.T) {
	trial := Shapes{Shapes: 150, Areas: 16, Depots: 4, Changes: 5, Fills: 10}
	res, err := trial.Run(21)
	if err != nil {
		t.Fatal(err)
	}
	if res.Planted != 50 || res.PlantedTaken+res.Misnamed+res.ValidRefused != 0 || res.Valid != 900 {
		t.Errorf("%+v", res)
	}
	path, asker, plain := res.Ways["path"], res.Ways["asker"], res.Ways["plain"]
	if path.Twice != 0 || plain.Twice < 100 || asker.Twice >= plain.Twice/4 {
		t.Errorf("visited twice: %d with a path, %d by who asks, %d with nothing", path.Twice, asker.Twice, plain.Twice)
	}
	if path.Served+path.Stuck != res.Fills || path.Stuck > res.Fills/20 {
		t.Errorf("%+v of %d", path, res.Fills)
	}
	if _, err := (&Shapes{}).Run(1); err == nil {
		t.Error("no shapes at all")
	}
}
