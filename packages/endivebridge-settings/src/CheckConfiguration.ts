import type { ConfigurationDocument } from "./Configuration";

/** A value of a configuration that matches the schema but is inconsistent with the rest of the document. */
export interface SemanticFault {
    readonly path: readonly (string | number)[];
    readonly expected: string;
}

const maxPrefixBits = 32;
const maxOctet = 255;

function isIpv4Block(block: string): boolean {
    const [address = "", length = ""] = block.split("/");
    return Number(length) <= maxPrefixBits && address.split(".").every(octet => Number(octet) <= maxOctet);
}

function checkRegion(
    declaredRegions: ReadonlySet<string>,
    region: string,
    path: readonly (string | number)[]
): readonly SemanticFault[] {
    return declaredRegions.has(region) ? [] : [{ path, expected: "a declared region" }];
}

function findDuplicateFailureDomains(document: ConfigurationDocument): readonly SemanticFault[] {
    const seen = new Set<string>();
    return Object.entries(document.regions).flatMap(([region, { failureDomains }]) =>
        failureDomains.flatMap((domain, index) => {
            const isNew = !seen.has(domain);
            seen.add(domain);
            const path = ["regions", region, "failureDomains", index];
            return isNew ? [] : [{ path, expected: "a failure domain that is not listed twice" }];
        })
    );
}

function findUndeclaredCappedServices(document: ConfigurationDocument): readonly SemanticFault[] {
    return Object.entries(document.regions).flatMap(([region, { inflowCapRequestsPerSecond }]) =>
        Object.keys(inflowCapRequestsPerSecond)
            .filter(service => !Object.hasOwn(document.services, service))
            .map(service => ({
                path: ["regions", region, "inflowCapRequestsPerSecond", service],
                expected: "a declared service"
            }))
    );
}

/** Finds references to undeclared regions and services, invalid IPv4 blocks and duplicate failure domains. */
export function checkConfiguration(document: ConfigurationDocument): readonly SemanticFault[] {
    const regions = new Set(Object.keys(document.regions));
    return [
        ...findDuplicateFailureDomains(document),
        ...findUndeclaredCappedServices(document),
        ...document.clientBlocks.flatMap(({ block, region }, index) => [
            ...isIpv4Block(block) ? [] : [{ path: ["clientBlocks", index, "block"], expected: "an IPv4 block" }],
            ...checkRegion(regions, region, ["clientBlocks", index, "region"])
        ]),
        ...document.drains.flatMap(({ region }, index) => checkRegion(regions, region, ["drains", index, "region"])),
        ...document.links.flatMap(({ from, to }, index) => [
            ...checkRegion(regions, from, ["links", index, "from"]),
            ...checkRegion(regions, to, ["links", index, "to"])
        ])
    ];
}
