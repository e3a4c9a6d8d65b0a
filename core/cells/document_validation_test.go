package cells

import (
	"strings"
	"testing"

	"spantack/core/migration"
	"spantack/core/rollout"
)

// The error for an invalid migration must begin with the path of the field.
func TestValidateMigrationsNamesInvalidField(t *testing.T) {
	assignment := mustCompile(t, twoCells())
	if err := assignment.ValidateMigrations(normalTenantMigration()); err != nil {
		t.Fatal(err)
	}
	if err := assignment.ValidateMigrations(nil); err != nil {
		t.Fatal(err)
	}
	for want, invalidate := range map[string]func(*migration.Migration){
		`moves.moves[0].tenant: "x" is no tenant`: func(m *migration.Migration) { m.Tenant = "x" },
		`moves.moves[0].from: "x" is no cell`:     func(m *migration.Migration) { m.From = "x" },
		`moves.moves[0].from: heavy is in cell one at site "z"`: func(m *migration.Migration) {
			m.Tenant, m.From, m.To = "heavy", "two", "two"
		},
	} {
		t.Run(want, func(t *testing.T) {
			err := assignment.ValidateMigrations(normalTenantMigration(invalidate))
			if err == nil || !strings.HasPrefix(err.Error(), want) {
				t.Errorf("got %v, want prefix %q", err, want)
			}
		})
	}
	nested := twoCells()
	nested.Scheme = SchemeNested
	nested.Width = 2
	err := mustCompile(t, nested).ValidateMigrations(normalTenantMigration())
	if err == nil || !strings.Contains(err.Error(), "need scheme fixed or overflow") {
		t.Errorf("scheme nested: got %v", err)
	}
}

// The error for an invalid rollout must begin with the path of the field.
func TestValidateRolloutNamesInvalidField(t *testing.T) {
	assignment := mustCompile(t, twoCells())
	for _, test := range []struct {
		name, want string // "": no error
		change     func(*rollout.Rollout)
	}{
		{"valid", "", func(*rollout.Rollout) {}},
		{"no name", "stage.name: ", func(r *rollout.Rollout) { r.Name = "" }},
		{"unknown cell", "stage.rings[0].cells:", func(r *rollout.Rollout) { r.Rings[0].Cells = []string{"x"} }},
		{"all cells", "stage.rings[0].cells: contains all cells", func(r *rollout.Rollout) {
			r.Rings[0].Cells = []string{"one", "two"}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			release := pricesRelease()
			test.change(release)
			err := assignment.ValidateRollout(release)
			if (err == nil) != (test.want == "") || err != nil && !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("got %v, want prefix %q", err, test.want)
			}
		})
	}
	if err := assignment.ValidateRollout(nil); err != nil {
		t.Error(err)
	}
}
