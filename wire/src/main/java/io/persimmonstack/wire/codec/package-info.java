/** Codecs between domain records and the Thrift structs stored in the key-value service. */
package io.persimmonstack.wire.codec;
