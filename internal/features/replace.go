package features

import "spantack/routing"

// CheckReplaces returns an error unless the file may replace the previous one at the time now, in Unix milliseconds. It
// must not leave out a migration in progress or change its cells, nor add one whose warm-up would be over already,
// unless that one is paused or rolled back. Migrations, a topology, or a rollout of the same name that differ must have
// a higher version. The version of the cells is not checked. previous may be nil.
func (f *File) CheckReplaces(now float64, previous *File) error {
	if err := f.checkRolloutReplaces(previous); err != nil {
		return err
	}
	if err := f.checkTopologyReplaces(previous); err != nil {
		return err
	}
	return f.checkMigrationReplaces(now, previous)
}

// checkVersion returns an error unless a document has a higher version than the current one. old and next are the
// versions; same is true if the documents are equal, which is allowed too.
func checkVersion(field string, old, next int64, same bool) error {
	if next <= old && !same {
		return fieldError(field, "%d, must be above %d, the current version", next, old)
	}
	return nil
}

// CheckSettings checks a file against a router's settings. The classes and sites that the file names must exist there,
// and the settings must support the features that it enables.
func (f *File) CheckSettings(settings *routing.Settings) error {
	if err := f.checkFleetSettings(settings); err != nil {
		return err
	}
	return f.checkCellSettings(settings)
}
