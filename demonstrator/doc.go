// Package demonstrator shows the system at work in one process: the stand-in
// platform, both deployments with their stand-in upstreams, nine proxies each,
// and callers that move between the proxies while things fail.
//
// It counts broken rules with a ledger of its own, made of what callers were
// told, and compares that with what the upstreams hold at the end. It never
// claims what it doesn't do: parts that aren't shown are listed by name.
//
// # Usage
//
//	d := &demonstrator.Demo{Out: os.Stdout}
//	report, err := d.Run(ctx)
//	if err != nil {
//		return err
//	}
//	if !report.Counts.Zero() {
//		os.Exit(1)
//	}
package demonstrator
