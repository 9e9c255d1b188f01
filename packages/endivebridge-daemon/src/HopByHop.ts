const hopByHop = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect"
]);

/** Whether a header concerns one connection only and is not passed on (RFC 9110, section 7.6.1). */
export function isHopByHop(name: string): boolean {
    return hopByHop.has(name.toLowerCase());
}
