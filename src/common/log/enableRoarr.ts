/** Turns roarr on, which reads the variable when it is loaded and writes nothing without it; import this first. */
export const enableRoarr = process.env["ROARR_LOG"] ??= "true";
