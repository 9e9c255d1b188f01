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

/** Whether a header concerns one connection, or the framing on it, and is not passed on (RFC 9110, section 7.6.1). */
export function isConnectionHeader(name: string): boolean {
    return connectionHeaders.has(name.toLowerCase());
}
