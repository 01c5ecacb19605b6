// Settings of the couriers at this site. `raventrestle settings schema` lists all that can be set;
// `raventrestle settings check deploy/raventrestle.cue` checks an edit. What is not here has its
// default. This platform grants a courier 3 MB of disk and withdraws what was given up, so nothing
// is kept here; docs/operators/undeliverable.md has the lines for installations that keep.
log: {
	format: "text"
	level:  "info"
}
undeliverable: keep: false
