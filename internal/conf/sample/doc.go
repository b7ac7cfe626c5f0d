// Package sample generates declarations of any size for tests, benchmarks and trials.
package sample
