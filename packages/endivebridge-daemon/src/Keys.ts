import { createHash, timingSafeEqual } from "node:crypto";

function digest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}

/** Compares a shown key with the right one in constant time. */
export function isRightKey(shown: string, right: string): boolean {
    return timingSafeEqual(digest(shown), digest(right));
}
