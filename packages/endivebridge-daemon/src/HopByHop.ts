import { isConnectionHeader } from "@endivebridge/shared";

/** Whether a header is not passed on to a backend server; its host is the server's own. */
export function isHopByHop(name: string): boolean {
    return isConnectionHeader(name) || name.toLowerCase() === "host";
}
