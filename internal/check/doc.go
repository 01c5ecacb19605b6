// Package check validates the files that operators write, without sending anything: a configuration, a settings file or a
// deploy file. It is the verb "check" of both programs, with the rules of packages configuration and nodeconfig and, for
// deploy files, those of the operators' page (DEPLOY.md, "The deploy file").
package check
