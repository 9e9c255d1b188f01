/** Header of a request that an instance forwards to a peer; in lower case. */
export const forwardedRequestHeader = "endivebridge-forwarded";
/** Header of a peer's answer with the kind of its own final answer; in lower case. */
export const forwardedResultHeader = "endivebridge-forwarded-result";

/** Whether a header is used between instances only; neither callers nor backend servers can set it. */
export function isPeerHeader(name: string): boolean {
    const lowerCaseName = name.toLowerCase();
    return lowerCaseName === forwardedRequestHeader || lowerCaseName === forwardedResultHeader;
}
