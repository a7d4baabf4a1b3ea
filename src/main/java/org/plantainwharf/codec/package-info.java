/** Protobuf encoding of messages between daemons and of records on disk. */
@NullMarked
package org.plantainwharf.codec;

import org.jspecify.annotations.NullMarked;
