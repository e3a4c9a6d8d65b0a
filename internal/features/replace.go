package features

import "spantack/routing"

// CheckReplaces returns an error unless the file may replace the previous one at the time now, in Unix milliseconds.
// The file must keep each migration that is in progress, with the same site and cells. It must not add a migration
// whose warm-up has ended, unless the migration is paused or rolled back. Changed migrations, a changed topology, and a
// changed rollout of the same name must have a higher version. The version of the cells is not checked. previous may be
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

// checkVersion returns an error unless the new version is higher than the old one or the documents are equal. isEqual
// reports whether they are.
func checkVersion(field string, old, next int64, isEqual bool) error {
	if next <= old && !isEqual {
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
