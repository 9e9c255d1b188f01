/** A measured value, the bound that the issue of the claim states, and whether the value is within it. */
export interface Claim {
    readonly name: string;
    readonly value: number;
    readonly bound: string;
    readonly holds: boolean;
}

/** Measurements of one policy in one scenario. */
export type PolicyResult = { readonly policy: string; } & Readonly<Record<string, unknown>>;

/** Report that a scenario prints as JSON on its last line. */
export interface ScenarioReport {
    readonly scenario: string;
    readonly seed: number;
    readonly seconds: number;
    readonly results: readonly PolicyResult[];
    readonly claims: readonly Claim[];
}

/** Seed and duration, which every scenario accepts. */
export interface ScenarioOptions {
    readonly seed: number;
    readonly seconds: number;
}

/** Runs load and faults, and returns the measurements and claims. */
export type Scenario = (options: ScenarioOptions) => Promise<Pick<ScenarioReport, "results" | "claims">>;

/** Creates a claim that a value is at most the bound. */
export function claimAtMost(name: string, value: number, bound: number): Claim {
    return { name, value: roundToFourDecimals(value), bound: `<= ${bound}`, holds: value <= bound };
}

/** Creates a claim that a value is at least the bound. */
export function claimAtLeast(name: string, value: number, bound: number): Claim {
    return { name, value: roundToFourDecimals(value), bound: `>= ${bound}`, holds: value >= bound };
}

function roundToFourDecimals(value: number): number {
    return Math.round(value * 10_000) / 10_000;
}

/** Runs a scenario and prints its report; resolves with the exit code, 0 when every claim holds and 1 otherwise. */
export async function runScenario(name: string, scenario: Scenario, options: ScenarioOptions): Promise<number> {
    const { results, claims } = await scenario(options);
    for (const claim of claims) {
        console.log(`${claim.holds ? "holds " : "FAILS "} ${claim.name}: ${claim.value} (${claim.bound})`);
    }
    const report: ScenarioReport = { scenario: name, seed: options.seed, seconds: options.seconds, results, claims };
    console.log(JSON.stringify(report));
    return claims.every(claim => claim.holds) ? 0 : 1;
}
