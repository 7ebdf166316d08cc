// Command field plays one case of the review: it starts stand-ins of the platform's store, of
// one database group and of callers on loopback addresses, starts the proxies as separate
// processes, disturbs them and checks one rule.
//
// # Usage
//
//	field -case text -record review/3/record.txt            # with the disruption
//	TROUBLE=0 field -case text -record review/3/record.txt  # without
//
// It must be run in the root of the repository, after the build of the deploy file. Exit codes:
// 0 the rule held, 1 it was broken, 2 the case could not be run.
package main
