import { createHash, timingSafeEqual } from "node:crypto";

function digest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}

/** Compares a shown key with the right one in constant time. */
export function keysMatch(presentedKey: string, expectedKey: string): boolean {
    return timingSafeEqual(digest(presentedKey), digest(expectedKey));
}
