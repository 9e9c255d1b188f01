const connectionHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect"
]);

/** Returns whether a header applies to one connection or its framing and must not be forwarded (RFC 9110, 7.6.1). */
export function isConnectionHeader(name: string): boolean {
    return connectionHeaders.has(name.toLowerCase());
}
