const farPeerFactor = 4;
const heartbeatsPerSecond = 5;

/** Time in milliseconds between heartbeats to a peer: siblings most often, all slower where there are many. */
export function heartbeatIntervalMillis(
    baseMillis: number,
    siblings: number,
    others: number,
    isSibling: boolean
): number {
    const wantedPerSecond = (siblings + others / farPeerFactor) * (1_000 / baseMillis);
    const stretch = Math.max(1, wantedPerSecond / heartbeatsPerSecond);
    return baseMillis * stretch * (isSibling ? 1 : farPeerFactor);
}
