# Cases of a minute and more with a sanitizer begin before the others, so that none of them runs alone at the end.
set_tests_properties("a core that missed hundreds of changes carries its part seconds after its return" PROPERTIES COST 800)
foreach(case
    "a core that missed configurations of 200 KB carries its part seconds after its return"
    "an edge that begins anew while no core lives sends nothing to an engine that has been leaving"
    "QUOTA of issue 31: a hot tenant stays within its quota over 47, 64 and 255 nodes"
    "FAULT: what a node pays for the membership at rest doesn't grow with the fleet"
    "FAULT: soon after a start of all at once a node sends no more than at the target size")
  set_tests_properties("${case}" PROPERTIES COST 400)
endforeach()
