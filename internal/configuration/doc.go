// Package configuration models the operators' dynamic configuration: routes, services, limits and tenants, as PUT and PATCH
// of /-/config bring them (PROTOCOL.md, "The operator's API"). It parses the text, validates it, applies changes to it and
// makes the typed form and the index that routers use. The static settings of one process are package nodeconfig.
//
// Parsing, validation and the applying of changes are separate: ParseDocument and ParsePatch check the form of a text,
// Validate the rules between its items and its predecessor, and Apply makes the next document of a document and a change.
// Keys that are not understood are kept as they are, so that a newer operator's documents pass through an older build.
//
// All functions are pure, without clocks, files or goroutines: all members of the replicated group have to come to the
// same result (package control/state). Which version is in force is decided there.
//
// # Errors
//
// An invalid text gives an *InvalidError with an ItemError for each reason, which names the item, such as route "r-1" or
// services[3]. API keys don't appear in errors.
package configuration
