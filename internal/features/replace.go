package features

import "spantack/routing"

// CheckReplaces checks whether a file may replace the previous one at a time, in Unix milliseconds: no migration in
// progress is lost or begun too late, and a rollout or topology that changes has a later version. previous may be
// nil.
func (f *File) CheckReplaces(now float64, previous *File) error {
	if err := f.checkRolloutReplaces(previous); err != nil {
		return err
	}
	if err := f.checkTopologyReplaces(previous); err != nil {
		return err
	}
	return f.checkMigrationReplaces(now, previous)
}

// checkVersion checks that a document is the same as the one in force or has a later version.
func checkVersion(field string, old, next int64, same bool) error {
	if next <= old && !same {
		return fieldError(field, "%d is not after %d, the one in force", next, old)
	}
	return nil
}

// CheckSettings checks a file against a router's settings: the names that it uses must exist there, and the settings
// must have what its features need.
func (f *File) CheckSettings(settings *routing.Settings) error {
	if err := f.checkFleetSettings(settings); err != nil {
		return err
	}
	return f.checkCellSettings(settings)
}
