// Package decl holds what operators declare, an inventory and a few rules,
// reads it from YAML files, checks it as a whole and prints it in one
// canonical form.
package decl
