const otherDomainIntervalFactor = 4;
const maxHeartbeatsPerSecond = 5;

/** Time in milliseconds between heartbeats to a peer: siblings most often, all slower where there are many. */
export function heartbeatIntervalMillis(
    baseMillis: number,
    siblingCount: number,
    otherPeerCount: number,
    isSibling: boolean
): number {
    const unlimitedHeartbeatsPerSecond = (siblingCount + otherPeerCount / otherDomainIntervalFactor)
        * (1_000 / baseMillis);
    const intervalFactor = Math.max(1, unlimitedHeartbeatsPerSecond / maxHeartbeatsPerSecond);
    return baseMillis * intervalFactor * (isSibling ? 1 : otherDomainIntervalFactor);
}
