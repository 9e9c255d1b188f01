/** Bounds the memory that a process holds for its clients, all together. */
export interface HeldMemory {
    /**
     * Claims memory. While all claims exceed the limit, the largest one that can be given up is released, and its
     * `onShed` is called; that may be the new one, before this returns.
     */
    readonly claim: (bytes: number, onShed: () => void) => MemoryClaim;
    /** Whether most of the memory is claimed. */
    readonly isShort: () => boolean;
    readonly claimedBytes: () => number;
}

/** A part of the memory that is held for one request, answer or connection. */
export interface MemoryClaim {
    /** Changes the size, upon which this claim or others may be shed. */
    readonly resize: (bytes: number) => void;
    /** Records progress: among claims of similar size, the one without progress for longest is shed first. */
    readonly touch: () => void;
    /** Excludes the claim from being shed. */
    readonly keep: () => void;
    /** Ends the claim; has no effect on one that was shed. */
    readonly release: () => void;
}

const shortShare = 0.75;

interface Claim {
    bytes: number;
    isEnded: boolean;
    readonly onShed: () => void;
}

/** Claims within a factor of two count as of the same size. */
function sizeClass(bytes: number): number {
    return Math.floor(Math.log2(Math.max(1, bytes)));
}

/** Creates the bound; it is kept as long as enough claims can be shed. */
export function makeHeldMemory(limitBytes: number): HeldMemory {
    /** Claims that can be given up, those without progress for longest first. */
    const sheddable = new Set<Claim>();
    let claimedBytes = 0;

    const findLargest = (): Claim | undefined => {
        let largest: Claim | undefined;
        for (const claim of sheddable) {
            if (largest === undefined || sizeClass(claim.bytes) > sizeClass(largest.bytes)) {
                largest = claim;
            }
        }
        return largest;
    };
    const remove = (claim: Claim) => {
        if (!claim.isEnded) {
            claim.isEnded = true;
            sheddable.delete(claim);
            claimedBytes -= claim.bytes;
        }
    };
    const shedExcess = () => {
        while (claimedBytes > limitBytes) {
            const largest = findLargest();
            if (largest === undefined) {
                return;
            }
            remove(largest);
            largest.onShed();
        }
    };
    return {
        claim: (bytes, onShed) => {
            const claim: Claim = { bytes, isEnded: false, onShed };
            sheddable.add(claim);
            claimedBytes += bytes;
            shedExcess();
            return {
                resize: newBytes => {
                    if (!claim.isEnded) {
                        claimedBytes += newBytes - claim.bytes;
                        claim.bytes = newBytes;
                        shedExcess();
                    }
                },
                touch: () => {
                    if (sheddable.delete(claim)) {
                        sheddable.add(claim);
                    }
                },
                keep: () => sheddable.delete(claim),
                release: () => remove(claim)
            };
        },
        isShort: () => claimedBytes > limitBytes * shortShare,
        claimedBytes: () => claimedBytes
    };
}
