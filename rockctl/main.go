// SPDX-License-Identifier: MIT

// Command rockctl is the operators' command line.
package main

func main() {}
