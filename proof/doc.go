// Package proof holds the drivers and test equipment that show what the design page promises.
package proof
