/** What both sides of the HTTP path share: names of headers and which of them are passed on. */
@NullMarked
package org.plantainwharf.http;

import org.jspecify.annotations.NullMarked;
