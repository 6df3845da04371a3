/** Code generated from persimmon.thrift by build/generate-thrift. */
package io.persimmonstack.wire.gen;
