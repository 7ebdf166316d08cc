// Command basildale is the proxy, its operators' tools and its demonstration in
// one binary.
package main

func main() {}
