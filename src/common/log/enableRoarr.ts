/** Turns roarr's output on unless the environment says otherwise; roarr reads this variable while it is loaded. */
process.env["ROARR_LOG"] ??= "true";

export {};
