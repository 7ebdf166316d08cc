// Package examples holds a sample of the settings file for each of the two
// deployments that basildale is sized for: Damplinjerne (three availability
// zones, three billet-db groups) and Quetzaltenango (four availability zones,
// three fiestas-base groups).
//
// NAME.yaml is a process that takes its groups and callers from the platform;
// NAME-static.yaml lists them itself. The tests read the same files, so a sample
// can't fall behind the program.
//
// # Usage
//
//	data, err := examples.Files.ReadFile("damplinjerne-static.yaml")
package examples
