import { existsSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** Root folder of the repository, found by its dprint.json; its `dist` folder has the bundled programs. */
export function repositoryRoot(): string {
    let folder = dirname(fileURLToPath(import.meta.url));
    while (!existsSync(join(folder, "dprint.json"))) {
        folder = dirname(folder);
    }
    return folder;
}

/** Path of a bundled program in `dist`, by its name without extension. */
export function programPath(program: string): string {
    return join(repositoryRoot(), "dist", `${program}.js`);
}
