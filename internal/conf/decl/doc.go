// Package decl defines the declarations of operators, an inventory and a few rules. It reads them
// from YAML files, checks them as a whole and prints them in a canonical form.
package decl
