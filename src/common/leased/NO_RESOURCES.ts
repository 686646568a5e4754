import type { Resources } from "./Resources.js";

export const NO_RESOURCES: Resources = { cpu: 0, memoryMb: 0, gpu: 0 };
