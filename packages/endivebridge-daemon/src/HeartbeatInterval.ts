const otherDomainIntervalFactor = 4;
const maxHeartbeatsPerSecond = 5;

/**
 * Returns the time in milliseconds between heartbeats to a peer. Peers of other failure domains get heartbeats less
 * often than siblings, and with many peers all intervals grow so that the total rate stays limited.
 */
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
