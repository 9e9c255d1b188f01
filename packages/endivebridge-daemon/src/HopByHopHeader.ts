import { isConnectionHeader } from "@endivebridge/shared";

/** Whether a header must not be forwarded to a backend server; Host is replaced by the server's own address. */
export function isHopByHopHeader(name: string): boolean {
    return isConnectionHeader(name) || name.toLowerCase() === "host";
}
