// Package reversals keeps patches that undo the mends of faults, one a fault. The script
// scripts/reversals shows with them which checks find a fault. A patch begins with the names
// of the regression tests of its fault, which the script leaves out.
package reversals
