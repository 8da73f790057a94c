// Command almondreel-gateway is a placeholder until its package is wired in.
package main

func main() {}
